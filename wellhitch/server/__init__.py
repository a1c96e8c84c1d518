"""The call server: feeds what occurs to the decisions and carries out what they ask for."""
