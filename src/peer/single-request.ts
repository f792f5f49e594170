/** One question to a controller over a connection of its own: for tools that are no controllers themselves. */
import { connect } from 'node:net';
import { splitAddress } from '../net/address.js';
import { type AnswerFrame, decodeAnswer, encodeFrame, FrameReader, FrameKind } from './frames.js';

/** The question could not be put, or was not answered. */
export class NoReplyError extends Error {}

const REQUEST = 1;

/** Rejects with `NoReply`, whose message says what went wrong. */
export function sendSingleRequest(
  address: string,
  kind: FrameKind,
  payload: Buffer,
  deadlineMs: number,
): Promise<AnswerFrame> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port, noDelay: true });
    const reader = new FrameReader();
    const fail = (problem: string): void => {
      clearTimeout(deadline);
      socket.destroy();
      reject(new NoReplyError(problem));
    };
    const deadline = setTimeout(() => fail(`no answer within ${deadlineMs / 1000} s`), deadlineMs);
    socket.on('connect', () => socket.write(encodeFrame(kind, REQUEST, payload)));
    socket.on('error', (error) => fail((error as NodeJS.ErrnoException).code ?? error.message));
    socket.on('close', () => fail('it closed the connection'));
    socket.on('data', (bytes) => {
      try {
        const answer = reader.push(bytes).find((frame) => frame.kind === FrameKind.Answer);
        if (!answer) return;
        clearTimeout(deadline);
        resolve(decodeAnswer(answer.payload));
        socket.destroy();
      } catch {
        fail('it does not speak the protocol of controllers');
      }
    });
  });
}
