"""The core: exchanges, their hops and their one final answer. It knows no wire."""
