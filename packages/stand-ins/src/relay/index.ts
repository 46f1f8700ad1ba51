/** TCP relay for simulating network partitions. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/**
 * Forwards connections from a loopback port to a target, so that a test can disconnect one process from an external
 * system.
 */
export class TcpRelay {
    readonly #sockets = new Set<Socket>();
    readonly #server: Server;
    #isDisconnected = false;
    #address: Promise<string> | undefined;

    constructor(target: string) {
        const [host, port] = target.split(":");
        this.#server = createServer(client => {
            if (this.#isDisconnected) {
                client.destroy();
                return;
            }
            const upstream = connect(Number(port), host);
            this.#connectStreams(client, upstream);
        });
    }

    /** Starts listening on loopback, once; every call resolves to the same address. */
    listen(): Promise<string> {
        this.#address ??= new Promise(resolve => {
            this.#server.listen(
                0,
                "127.0.0.1",
                () => resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`),
            );
        });
        return this.#address;
    }

    /** While disconnected, open connections are closed and new ones are rejected. */
    setDisconnected(isDisconnected: boolean): void {
        this.#isDisconnected = isDisconnected;
        if (isDisconnected) {
            this.#sockets.forEach(socket => socket.destroy());
        }
    }

    close(): void {
        this.setDisconnected(true);
        this.#server.close();
    }

    #connectStreams(client: Socket, upstream: Socket): void {
        for (const [from, to] of [[client, upstream], [upstream, client]]) {
            this.#sockets.add(from);
            from.pipe(to);
            from.on("error", () => to.destroy());
            from.on("close", () => {
                this.#sockets.delete(from);
                to.destroy();
            });
        }
    }
}
