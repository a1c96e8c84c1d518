"""The call server: feeds events to the decision function and executes the actions that it returns."""
