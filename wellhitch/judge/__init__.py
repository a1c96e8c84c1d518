"""The five rules, read from captures taken at the stand-ins' ends. Shares the frames' codec with the server and
nothing else: what the server says of itself is no evidence."""
