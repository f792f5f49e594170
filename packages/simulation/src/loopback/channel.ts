/** A bidirectional channel that carries requests and responses as newline-delimited JSON over one connection. */
import type { Socket } from 'node:net';

/** A message on the channel. A request has an id and a name; the response carries the id of the request and no name. */
interface Frame {
  readonly id: number;
  readonly name?: string;
  readonly body: unknown;
}

/** Handles a request of the remote end; resolves to undefined if no response is to be sent. */
export type RequestHandler = (name: string, body: unknown) => Promise<unknown>;

/**
 * One end of a channel. `handler` handles requests of the remote end; `onClose` is called when the connection closes.
 */
export class Channel {
  private buffer = '';
  private nextId = 1;
  private readonly pendingRequests = new Map<number, (answer: unknown) => void>();

  constructor(
    private readonly socket: Socket,
    private readonly handler: RequestHandler,
    onClose: () => void = () => {},
  ) {
    socket.setNoDelay(true);
    socket.setEncoding('utf8');
    socket.on('data', (text: string) => this.receive(text));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      for (const resolve of this.pendingRequests.values()) resolve(null);
      this.pendingRequests.clear();
      onClose();
    });
  }

  private receive(text: string): void {
    const lines = (this.buffer + text).split('\n');
    this.buffer = lines.pop() ?? '';
    for (const line of lines) this.handleFrame(JSON.parse(line) as Frame);
  }

  private handleFrame({ id, name, body }: Frame): void {
    if (name === undefined) {
      this.pendingRequests.get(id)?.(body);
      this.pendingRequests.delete(id);
      return;
    }
    void this.handler(name, body).then((answer) => {
      if (answer !== undefined) this.write({ id, body: answer });
    });
  }

  private write(frame: Frame): void {
    if (this.socket.writable) this.socket.write(`${JSON.stringify(frame)}\n`);
  }

  /** Sends a request. Resolves to null if no response arrives within `deadlineMs` or the connection closes. */
  request(name: string, body: unknown, deadlineMs: number): Promise<unknown> {
    const id = this.nextId++;
    return new Promise((resolve) => {
      const timeout = setTimeout(() => {
        this.pendingRequests.delete(id);
        resolve(null);
      }, deadlineMs);
      this.pendingRequests.set(id, (answer) => {
        clearTimeout(timeout);
        resolve(answer);
      });
      this.write({ id, name, body });
    });
  }

  /** Sends a message for which no response is expected. */
  notify(name: string, body: unknown): void {
    this.write({ id: 0, name, body });
  }
}
