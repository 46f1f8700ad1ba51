/** Bidirectional message channels between an owner and an entry VM, and one within a process. */

/** One end of a bidirectional message channel. */
export interface Channel<Sent, Received> {
    /** Sends a message, batched with others sent about the same time; drops it if the channel is closed. */
    send(message: Sent): void;
    /** Handler of received messages; must be set once, before the first message is handled. */
    onMessage: (message: Received) => void;
    /** Called once when the channel is closed by either end. */
    onClose: () => void;
    close(): void;
    readonly isOpen: boolean;
}

/** One end of a channel within a process. Messages are delivered asynchronously, in order. */
class MemoryChannel<Sent, Received> implements Channel<Sent, Received> {
    onMessage: (message: Received) => void = () => undefined;
    onClose: () => void = () => undefined;
    isOpen = true;
    peer: MemoryChannel<Received, Sent> | undefined;
    #batch: Sent[] = [];

    send(message: Sent): void {
        this.#batch.push(message);
        if (this.#batch.length === 1) {
            setImmediate(() => this.#flush());
        }
    }

    close(): void {
        if (!this.isOpen) {
            return;
        }
        this.isOpen = false;
        this.onClose();
        this.peer?.close();
    }

    #flush(): void {
        const batch = this.#batch;
        this.#batch = [];
        const peer = this.peer;
        if (this.isOpen && peer !== undefined) {
            batch.forEach(message => peer.onMessage(message));
        }
    }
}

/** Creates both ends of a channel within this process. */
export const createMemoryChannel = <Left, Right>(): [Channel<Left, Right>, Channel<Right, Left>] => {
    const left = new MemoryChannel<Left, Right>();
    const right = new MemoryChannel<Right, Left>();
    left.peer = right;
    right.peer = left;
    return [left, right];
};
