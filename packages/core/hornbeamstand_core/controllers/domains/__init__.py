"""When requests leave this VM's failure domain, and how many."""
