/** Routes of the front address: users' requests, workers' heartbeats and health checks. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { LinearRouter } from 'hono/router/linear-router';
import type { UserVerb } from '../peer/frames.js';
import type { UserAnswer } from './user-answer.js';

/** Largest request body (PROTOCOL). */
export const MAX_BODY_BYTES = 64 * 1024;

/** A request body over `MAX_BODY_BYTES`. */
class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
  readonly code = 'BODY_TOO_LARGE';
}

/** The client went away before its request was complete. */
class RequestAbortedError extends Error {
  override readonly name = 'RequestAbortedError';
  readonly code = 'REQUEST_ABORTED';
}

/** Handles the requests that the router has recognized. */
export interface RequestHandler {
  up(): boolean;
  heartbeat(body: Buffer): Promise<{ status: number; body: Buffer | null }>;
  user(verb: UserVerb, body: Buffer): Promise<UserAnswer>;
}

/** An answer that is ready to be written. */
interface HttpAnswer {
  readonly status: number;
  readonly body: Buffer | string | null;
  readonly retryAfter?: number;
  /** The connection ends with this answer: the rest of the request has not been read. */
  readonly close?: boolean;
}

/** Answers one request; `id` is the path's parameter, where the route has one. */
type Route = (request: IncomingMessage, id: string) => HttpAnswer | Promise<HttpAnswer>;

const NO_SUCH_PATH: HttpAnswer = { status: 404, body: '{"error":"no such path"}' };
const BODY_TOO_LONG: HttpAnswer = { status: 413, body: '{"error":"body over 64 KiB"}', close: true };
const INTERNAL: HttpAnswer = { status: 500, body: '{"error":"internal"}' };

function readBody(request: IncomingMessage): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    if (Number(request.headers['content-length'] ?? 0) > MAX_BODY_BYTES) {
      reject(new BodyTooLargeError());
      return;
    }
    const parts: Buffer[] = [];
    let size = 0;
    request.on('data', (part: Buffer) => {
      size += part.length;
      if (size > MAX_BODY_BYTES) reject(new BodyTooLargeError());
      else parts.push(part);
    });
    request.on('end', () => resolve(parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts)));
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

function routes(handler: RequestHandler): LinearRouter<Route> {
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

/** Returns the path of a URL without its query. */
function withoutQuery(url: string): string {
  const query = url.indexOf('?');
  return query < 0 ? url : url.slice(0, query);
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
  const [found] = router.match(method, withoutQuery(request.url ?? ''))[0];
  if (!found) return NO_SUCH_PATH;
  const [route, parameters] = found as [Route, Record<string, string>];
  try {
    return await route(request, decodeParameter(parameters['id'] ?? ''));
  } catch (error) {
    return error instanceof BodyTooLargeError ? BODY_TOO_LONG : INTERNAL;
  }
}

function write(response: ServerResponse, { status, body, retryAfter, close }: HttpAnswer): void {
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
 * Creates the front address's listener, on Hono's router. Hono's application and its adapter are left out: they answer
 * with the runtime's fetch objects, and only loading these took as long as starting all the rest of the program.
 */
export function requestListener(handler: RequestHandler): RequestListener {
  const router = routes(handler);
  return (request, response) => void dispatch(router, request).then((answer) => write(response, answer));
}
