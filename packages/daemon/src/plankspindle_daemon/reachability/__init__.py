"""Whether this VM reaches upstreams, and which VM serves for one that does not."""
