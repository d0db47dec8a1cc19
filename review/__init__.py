"""Cases of an independent review, and their stand-ins; REPORT.md lists them."""
