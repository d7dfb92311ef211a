"""The core: exchanges, their attempts and their one final answer. It knows no wire."""
