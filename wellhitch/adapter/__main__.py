"""`python -m wellhitch.adapter`: serves the simulator over standard input and output."""

import sys

from wellhitch.adapter.host import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
