/** Reads and writes frames on a socket. */
import type { Socket } from 'node:net';
import { errorMessage, type Logger } from '../log/logger.js';
import { type Frame, FrameReader } from './frames.js';

/**
 * Writes a frame to a socket. Frames that are written in the same turn of the event loop are combined into one system
 * call by corking the socket.
 */
export function writeFrame(socket: Socket, frame: Buffer): void {
  if (socket.writableCorked === 0) {
    socket.cork();
    setImmediate(() => socket.uncork());
  }
  socket.write(frame);
}

/** Passes each frame received on a socket to `handle`. Destroys the socket if a frame cannot be decoded or handled. */
export function readFrames(socket: Socket, log: Logger, handle: (frame: Frame) => void): void {
  const reader = new FrameReader();
  socket.on('data', (bytes) => {
    try {
      for (const frame of reader.push(bytes)) handle(frame);
    } catch (error) {
      log.info({ error: errorMessage(error) }, 'peer connection closed');
      socket.destroy();
    }
  });
  socket.on('error', () => socket.destroy());
}
