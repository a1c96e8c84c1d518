"""Types shared by the decisions and whatever feeds them: facts, events, actions and state records."""
