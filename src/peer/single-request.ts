/** One request to a controller over a connection of its own: for tools that are no controllers themselves. */
import { connect } from 'node:net';
import { splitAddress } from '../net/address.js';
import { decodeResponse, encodeFrame, FrameKind, FrameReader, type PeerResponse } from './frames.js';

/** Why a request brought no response. */
export type SingleRequestErrorCode =
  'timeout' | 'connection-failed' | 'connection-closed' | 'malformed-response';

/** The request could not be sent, or brought no response; the message says why, for an operator. */
export class SingleRequestError extends Error {
  override readonly name = 'SingleRequestError';

  constructor(
    readonly code: SingleRequestErrorCode,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

const REQUEST_ID = 1;

/** Sends one request and resolves with its response. Rejects with `SingleRequestError`. */
export function sendSingleRequest(
  address: string,
  kind: FrameKind,
  payload: Buffer,
  deadlineMs: number,
): Promise<PeerResponse> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port, noDelay: true });
    const reader = new FrameReader();
    const fail = (error: SingleRequestError): void => {
      clearTimeout(deadline);
      socket.destroy();
      reject(error);
    };
    const deadline = setTimeout(
      () => fail(new SingleRequestError('timeout', `no answer within ${deadlineMs / 1000} s`)),
      deadlineMs,
    );
    socket.on('connect', () => socket.write(encodeFrame(kind, REQUEST_ID, payload)));
    socket.on('error', (error: NodeJS.ErrnoException) =>
      fail(new SingleRequestError('connection-failed', error.code ?? error.message, { cause: error })),
    );
    socket.on('close', () => fail(new SingleRequestError('connection-closed', 'it closed the connection')));
    socket.on('data', (bytes) => {
      try {
        const response = reader.push(bytes).find((frame) => frame.kind === FrameKind.Response);
        if (!response) return;
        clearTimeout(deadline);
        resolve(decodeResponse(response.payload));
        socket.destroy();
      } catch (error) {
        const problem = 'it does not speak the protocol of controllers';
        fail(new SingleRequestError('malformed-response', problem, { cause: error }));
      }
    });
  });
}
