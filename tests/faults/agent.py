"""An agent of discovery whose answers to notifications the test decides.

Lists are served as ever; each post of notifications is passed to `on_post`, which takes
it, holds it back, answers it with an error, or cuts it off.
"""

import json
import threading
import time

import rig


class Post:
    """One post of notifications, as it was read."""

    def __init__(self, number, lines):
        self.number = number  # from 0, in the order of arrival
        self.ids = [line["id"] for line in lines]
        self.arrived = time.monotonic()


class AgentHandler(rig.LayoutHandler):
    def finals(self, body):
        lines = [json.loads(line) for line in body.decode().splitlines()]
        agent = self.server
        with agent.changed:
            post = Post(len(agent.posts), lines)
            agent.posts.append(post)
            for line in lines:
                agent.first_posted.setdefault(line["id"], post.arrived)
        status = agent.on_post(post)
        if status is None:  # not answered at all
            self.close_connection = True
            return
        if isinstance(status, bytes):  # a part of an answer
            self.wfile.write(status)
            self.close_connection = True
            return
        if status == 204:
            for line in lines:
                agent.note(agent.notices, line)
        self.reply(status)


class Agent(rig.Discovery):
    def __init__(self):
        super().__init__()
        self.RequestHandlerClass = AgentHandler
        self.posts = []
        self.first_posted = {}  # when the agent first read a message's notification
        self.release = threading.Event()
        self.on_post = lambda post: 204

    def hold(self, post):
        """Answers once the test releases what is held."""
        self.release.wait(timeout=rig.LIMIT)
        return 204

    def has_read(self, message):
        return message in self.first_posted
