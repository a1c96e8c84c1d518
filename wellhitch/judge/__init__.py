"""Checks the five rules and computes the service level from the captures of the stand-ins. Shares only the frame codec
with the server: what a server reports about itself is not evidence."""
