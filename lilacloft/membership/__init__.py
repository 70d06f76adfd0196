"""Who is there: forwarders and planners, by their own word and by others'. It must never take a process that
has started anew under an old name for the old one."""
