"""Days and experiments: call servers and stand-ins put together, played, judged and reported."""
