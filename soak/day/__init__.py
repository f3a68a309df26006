"""A day of a whole site on real processes, with lost requests counted by clause."""
