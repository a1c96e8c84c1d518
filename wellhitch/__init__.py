"""wellhitch: routing and admission for a private voice network."""
