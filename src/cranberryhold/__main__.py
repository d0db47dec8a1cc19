"""Entry point of ``python -m cranberryhold``."""

from cranberryhold.cli import main

if __name__ == "__main__":
    main()
