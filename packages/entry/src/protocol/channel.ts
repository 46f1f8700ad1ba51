/** A two-way channel of messages: over a WebSocket between VMs, in memory within one. */

/** One end of a channel. */
export interface Channel<Sent, Received> {
    /** Sends a message, bundled with others of the same moment. A channel that is closed drops it. */
    send(message: Sent): void;
    /** Takes what arrives. Set once, before the first message. */
    onMessage: (message: Received) => void;
    /** Called once when the channel has ended; `isRefused` when its peer's process is gone. */
    onClose: () => void;
    /** Ends the channel. */
    close(): void;
    readonly isOpen: boolean;
}

/** One end of a channel within a process. */
class MemoryChannel<Sent, Received> implements Channel<Sent, Received> {
    onMessage: (message: Received) => void = () => undefined;
    onClose: () => void = () => undefined;
    isOpen = true;
    other: MemoryChannel<Received, Sent> | undefined;
    #batch: Sent[] = [];

    /** See {@link Channel.send}. */
    send(message: Sent): void {
        this.#batch.push(message);
        if (this.#batch.length === 1) {
            setImmediate(() => this.#flush());
        }
    }

    /** See {@link Channel.close}. */
    close(): void {
        if (!this.isOpen) {
            return;
        }
        this.isOpen = false;
        this.onClose();
        this.other?.close();
    }

    #flush(): void {
        const bundle = this.#batch;
        this.#batch = [];
        const other = this.other;
        if (this.isOpen && other !== undefined) {
            bundle.forEach(message => other.onMessage(message));
        }
    }
}

/** Makes both ends of a channel within this process. */
export const createMemoryChannel = <Left, Right>(): [Channel<Left, Right>, Channel<Right, Left>] => {
    const left = new MemoryChannel<Left, Right>();
    const right = new MemoryChannel<Right, Left>();
    left.other = right;
    right.other = left;
    return [left, right];
};
