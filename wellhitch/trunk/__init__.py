"""The trunk protocol: frames, their codec, the life of a link, and the circuits both ends count."""
