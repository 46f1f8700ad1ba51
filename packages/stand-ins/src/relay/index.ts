/** A TCP relay that can be cut: stands between one process and an outside system. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/** See the module's comment. */
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

    /** Listens on loopback; resolves to the address, the same one when called again. */
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

    /** Cuts all connections and lets none through, or lets them through again. */
    setDisconnected(isDisconnected: boolean): void {
        this.#isDisconnected = isDisconnected;
        if (isDisconnected) {
            this.#sockets.forEach(socket => socket.destroy());
        }
    }

    /** Ends the relay. */
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
