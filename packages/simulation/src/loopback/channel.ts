/** Requests and answers as JSON lines over one connection, in both directions. */
import type { Socket } from 'node:net';

/** A request has a name and a number; an answer only the number. */
interface Line {
  readonly id: number;
  readonly ask?: string;
  readonly body: unknown;
}

/** Answers the other side's requests; undefined: there is no answer. */
export type Answerer = (ask: string, body: unknown) => Promise<unknown>;

/** One end of a connection. */
export class Channel {
  private rest = '';
  private next = 1;
  private readonly waiting = new Map<number, (answer: unknown) => void>();

  constructor(
    private readonly socket: Socket,
    private readonly answerer: Answerer,
    onClose: () => void = () => {},
  ) {
    socket.setNoDelay(true);
    socket.setEncoding('utf8');
    socket.on('data', (text: string) => this.read(text));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      for (const done of this.waiting.values()) done(null);
      this.waiting.clear();
      onClose();
    });
  }

  private read(text: string): void {
    const lines = (this.rest + text).split('\n');
    this.rest = lines.pop() ?? '';
    for (const line of lines) this.take(JSON.parse(line) as Line);
  }

  private take({ id, ask, body }: Line): void {
    if (ask === undefined) {
      this.waiting.get(id)?.(body);
      this.waiting.delete(id);
      return;
    }
    void this.answerer(ask, body).then((answer) => {
      if (answer !== undefined) this.write({ id, body: answer });
    });
  }

  private write(line: Line): void {
    if (this.socket.writable) this.socket.write(`${JSON.stringify(line)}\n`);
  }

  /** Null: no answer in time, or the connection has ended. */
  request(ask: string, body: unknown, deadlineMs: number): Promise<unknown> {
    const id = this.next++;
    return new Promise((resolve) => {
      const late = setTimeout(() => {
        this.waiting.delete(id);
        resolve(null);
      }, deadlineMs);
      this.waiting.set(id, (answer) => {
        clearTimeout(late);
        resolve(answer);
      });
      this.write({ id, ask, body });
    });
  }

  /** Told, not asked. */
  tell(ask: string, body: unknown): void {
    this.write({ id: 0, ask, body });
  }
}
