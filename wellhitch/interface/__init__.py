"""Types shared by the decision module and the servers: start configuration, events, actions and state records."""
