"""The call server: feeds events to the decision module and executes the actions that it returns."""
