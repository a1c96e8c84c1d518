"""One call server process beside clients that load it on purpose: what its usual clients notice, and its memory."""
