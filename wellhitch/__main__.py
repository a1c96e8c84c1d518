"""`python -m wellhitch` runs the `wellhitch` command."""

from wellhitch.cli.main import main

if __name__ == "__main__":
    main()
