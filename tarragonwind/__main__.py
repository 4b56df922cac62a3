"""Run the command line as a module."""

from tarragonwind.tools.commands import main

if __name__ == "__main__":
    main()
