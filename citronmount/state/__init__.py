"""Records of the log streams and the job view folded from them."""
