"""`python -m wellhitch.adapter`: the decisions on the simulator's wire, over standard input and output."""

import sys

from wellhitch.adapter.host import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
