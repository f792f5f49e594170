/** A single request to a controller over a separate connection, for command-line tools. */
import { connect } from 'node:net';
import { splitAddress } from '../net/address.js';
import { decodeResponse, encodeFrame, FrameKind, FrameReader, type PeerResponse } from './frames.js';

/** Why a request received no response. */
export type SingleRequestErrorCode =
  'timeout' | 'connection-failed' | 'connection-closed' | 'malformed-response';

/** Thrown if a request could not be sent or received no valid response. The message is meant for operators. */
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

/** Opens a connection, sends one request and resolves with its response. Rejects with `SingleRequestError`. */
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
      () => fail(new SingleRequestError('timeout', `no response within ${deadlineMs / 1000} s`)),
      deadlineMs,
    );
    socket.on('connect', () => socket.write(encodeFrame(kind, REQUEST_ID, payload)));
    socket.on('error', (error: NodeJS.ErrnoException) =>
      fail(new SingleRequestError('connection-failed', error.code ?? error.message, { cause: error })),
    );
    socket.on('close', () =>
      fail(
        new SingleRequestError(
          'connection-closed',
          'the connection was closed before a response was received',
        ),
      ),
    );
    socket.on('data', (bytes) => {
      try {
        const response = reader.push(bytes).find((frame) => frame.kind === FrameKind.Response);
        if (!response) return;
        clearTimeout(deadline);
        resolve(decodeResponse(response.payload));
        socket.destroy();
      } catch (error) {
        const problem = 'the response is not a valid message of the peer protocol';
        fail(new SingleRequestError('malformed-response', problem, { cause: error }));
      }
    });
  });
}
