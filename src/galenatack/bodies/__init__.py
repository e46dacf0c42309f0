"""Long bodies of calls, which gates fetch when they can use them."""
