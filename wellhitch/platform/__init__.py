"""The call server on the operators' platform: a pure core, and a thin shell of callers, offices, board and peers."""
