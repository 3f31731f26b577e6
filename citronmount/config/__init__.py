"""The sheet of the operators and its fold into versions."""
