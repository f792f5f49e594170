/** HTTP routes of the front address: user requests, worker heartbeats and health checks. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { LinearRouter } from 'hono/router/linear-router';
import type { UserVerb } from '../peer/user-request.js';
import type { UserAnswer } from './user-answer.js';

/** The maximum size of a request body (PROTOCOL). */
export const MAX_BODY_BYTES = 64 * 1024;

/** Thrown for a request body larger than `MAX_BODY_BYTES`. */
class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
  readonly code = 'BODY_TOO_LARGE';
}

/** Thrown when the client closes the connection before its request is complete. */
class RequestAbortedError extends Error {
  override readonly name = 'RequestAbortedError';
  readonly code = 'REQUEST_ABORTED';
}

/** Handles the requests that match a route. */
export interface RequestHandler {
  up(): boolean;
  heartbeat(body: Buffer): Promise<{ status: number; body: Buffer | null }>;
  user(verb: UserVerb, body: Buffer): Promise<UserAnswer>;
}

/** An HTTP response before encoding. */
interface HttpAnswer {
  readonly status: number;
  readonly body: Buffer | string | null;
  readonly retryAfter?: number;
  /** Whether the connection closes after this response, because the rest of the request has not been read. */
  readonly close?: boolean;
}

/** Handles one request; `id` is the path parameter, or empty if the route has none. */
type Route = (request: IncomingMessage, id: string) => HttpAnswer | Promise<HttpAnswer>;

const NO_SUCH_PATH: HttpAnswer = { status: 404, body: '{"error":"no such path"}' };
const BODY_TOO_LARGE: HttpAnswer = { status: 413, body: '{"error":"body over 64 KiB"}', close: true };
const INTERNAL_ERROR: HttpAnswer = { status: 500, body: '{"error":"internal"}' };

function readBody(request: IncomingMessage): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    if (Number(request.headers['content-length'] ?? 0) > MAX_BODY_BYTES) {
      reject(new BodyTooLargeError());
      return;
    }
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_BODY_BYTES) reject(new BodyTooLargeError());
      else chunks.push(chunk);
    });
    request.on('end', () => resolve(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks)));
    request.on('error', reject);
    request.on('close', () => {
      if (!request.complete) reject(new RequestAbortedError());
    });
  });
}

function toHttpAnswer({ status, body, retryAfter }: UserAnswer): HttpAnswer {
  const text = JSON.stringify(body);
  return retryAfter === undefined ? { status, body: text } : { status, body: text, retryAfter };
}

function createRouter(handler: RequestHandler): LinearRouter<Route> {
  const router = new LinearRouter<Route>();
  router.add('GET', '/up', () => ({ status: handler.up() ? 200 : 503, body: null }));
  router.add('POST', '/agent/beat', async (request) => handler.heartbeat(await readBody(request)));
  router.add('POST', '/v2/runs', async (request) =>
    toHttpAnswer(await handler.user('submit', await readBody(request))),
  );
  router.add('GET', '/v2/runs/:id', async (_request, id) =>
    toHttpAnswer(await handler.user('query', Buffer.from(id))),
  );
  router.add('POST', '/v2/runs/:id/cancel', async (request, id) => {
    await readBody(request);
    return toHttpAnswer(await handler.user('cancel', Buffer.from(id)));
  });
  return router;
}

/** Returns a URL without its query string. */
function withoutQuery(url: string): string {
  const queryStart = url.indexOf('?');
  return queryStart < 0 ? url : url.slice(0, queryStart);
}

function decodeParameter(parameter: string): string {
  try {
    return decodeURIComponent(parameter);
  } catch {
    return parameter;
  }
}

async function dispatch(router: LinearRouter<Route>, request: IncomingMessage): Promise<HttpAnswer> {
  const method = request.method === 'HEAD' ? 'GET' : (request.method ?? '');
  const [matched] = router.match(method, withoutQuery(request.url ?? ''))[0];
  if (!matched) return NO_SUCH_PATH;
  const [route, parameters] = matched as [Route, Record<string, string>];
  try {
    return await route(request, decodeParameter(parameters['id'] ?? ''));
  } catch (error) {
    return error instanceof BodyTooLargeError ? BODY_TOO_LARGE : INTERNAL_ERROR;
  }
}

function writeAnswer(response: ServerResponse, { status, body, retryAfter, close }: HttpAnswer): void {
  if (response.destroyed) return;
  const headers: Record<string, string | number> = {
    'content-length': body === null ? 0 : Buffer.byteLength(body),
  };
  if (body !== null) headers['content-type'] = 'application/json';
  if (retryAfter !== undefined) headers['retry-after'] = retryAfter;
  if (close) headers['connection'] = 'close';
  response.writeHead(status, headers);
  response.end(body ?? undefined);
}

/**
 * Creates the request listener of the front address on top of Hono's router. Hono's application class and Node.js
 * adapter are not used: they are built on the runtime's fetch objects, and loading these takes as long as starting the
 * rest of the program.
 */
export function createRequestListener(handler: RequestHandler): RequestListener {
  const router = createRouter(handler);
  return (request, response) =>
    void dispatch(router, request).then((answer) => writeAnswer(response, answer));
}
