/** Reads and writes frames on a socket. */
import type { Socket } from 'node:net';
import { errorMessage, type Logger } from '../log/logger.js';
import { type Frame, FrameReader } from './frames.js';

/** Writes a frame. Frames of one turn of the event loop leave in one write: each write costs a system call. */
export function writeFrame(socket: Socket, frame: Buffer): void {
  if (socket.writableCorked === 0) {
    socket.cork();
    setImmediate(() => socket.uncork());
  }
  socket.write(frame);
}

/** Hands over each frame that arrives. The socket is closed where one cannot be read or handled. */
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
