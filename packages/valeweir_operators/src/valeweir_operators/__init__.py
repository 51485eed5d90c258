"""The HTTP resource API for operators."""
