"""Translation between the Cocotera Austral platform and galenatack."""
