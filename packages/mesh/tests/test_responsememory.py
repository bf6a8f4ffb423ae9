from corianderwall.mesh.responsememory import HeldBody, ResponseMemory


class Receiver:
    """Receives one body until it is given up."""

    def __init__(self, memory: ResponseMemory) -> None:
        self.given_up = False
        self.account: HeldBody = memory.open(self.give_up)

    def give_up(self) -> None:
        self.given_up = True


def test_the_largest_body_is_given_up_and_the_others_stay() -> None:
    memory = ResponseMemory(100)
    endless, sound = Receiver(memory), Receiver(memory)
    assert endless.account.grow(70)
    assert sound.account.grow(30)
    assert sound.account.grow(1)
    assert (endless.given_up, sound.given_up) == (True, False)
    assert not endless.account.is_open
    assert (memory.held, memory.given_up) == (31, 1)


def test_a_body_that_is_itself_the_largest_is_given_up() -> None:
    memory = ResponseMemory(100)
    endless, sound = Receiver(memory), Receiver(memory)
    assert sound.account.grow(30)
    assert endless.account.grow(70)
    assert not endless.account.grow(1)
    assert memory.held == 30


def test_a_whole_body_counts_until_it_has_been_handed_on() -> None:
    memory = ResponseMemory(100)
    whole = Receiver(memory)
    assert whole.account.grow(80)
    whole.account.complete()
    late = Receiver(memory)
    assert not late.account.grow(30)
    assert (whole.given_up, memory.held) == (False, 80)
    del whole
    assert memory.held == 0


def test_a_cancelled_body_counts_no_longer() -> None:
    memory = ResponseMemory(100)
    receiver = Receiver(memory)
    assert receiver.account.grow(80)
    receiver.account.cancel()
    del receiver
    assert memory.held == 0
