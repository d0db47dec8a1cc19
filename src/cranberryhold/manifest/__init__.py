"""The manifest: models, text format, submission and differences."""
