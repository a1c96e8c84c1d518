"""The call server on the operators' platform: a pure state machine (`core`) and the connections that drive it."""
