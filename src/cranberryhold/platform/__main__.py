"""Runs a flow daemon on the platform: ``python -m cranberryhold.platform ROLE``."""

import sys

# No connection of the daemons uses TLS; asyncio starts an eighth sooner without it.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

from cranberryhold.platform.runner import main  # noqa: E402 - after the line above

if __name__ == "__main__":
    sys.exit(main())
