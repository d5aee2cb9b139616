"""The port on sockets: who is connected, what is out to whom, and when. What to do is for `policy` to say."""
