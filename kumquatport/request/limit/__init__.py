"""How many requests may be in progress, learnt from what becomes of them."""
