import type { IncomingMessage } from 'node:http';
import { Hono } from 'hono';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import type { RequestListener } from 'node:http';
import type { UserVerb } from '../peer/frames.js';
import type { UserAnswer } from './users.js';

/** Largest request body (PROTOCOL). */
export const MAX_BODY = 64 * 1024;

/** A request body over `MAX_BODY`. */
class TooLong extends Error {}

/** What the router hands requests to. */
export interface RequestHandler {
  up(): boolean;
  heartbeat(body: Buffer): Promise<{ status: number; body: Buffer | null }>;
  user(verb: UserVerb, body: Buffer): Promise<UserAnswer>;
}

async function readBody(req: IncomingMessage): Promise<Buffer> {
  if (Number(req.headers['content-length'] ?? 0) > MAX_BODY) throw new TooLong();
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of req) {
    size += (part as Buffer).length;
    if (size > MAX_BODY) throw new TooLong();
    parts.push(part as Buffer);
  }
  return Buffer.concat(parts);
}

function userResponse(answer: UserAnswer): Response {
  const headers: Record<string, string> = { 'content-type': 'application/json' };
  if (answer.retryAfter !== undefined) headers['retry-after'] = String(answer.retryAfter);
  return new Response(JSON.stringify(answer.body), { status: answer.status, headers });
}

/** Routes of the front address: users, workers and health checks. */
export function requestListener(handler: RequestHandler): RequestListener {
  const app = new Hono<{ Bindings: HttpBindings }>();

  app.get('/up', () => new Response(null, { status: handler.up() ? 200 : 503 }));

  app.post('/agent/beat', async (c) => {
    const answer = await handler.heartbeat(await readBody(c.env.incoming));
    const headers = { 'content-type': 'application/json' };
    return new Response(answer.body, { status: answer.status, headers });
  });

  app.post('/v2/runs', async (c) =>
    userResponse(await handler.user('submit', await readBody(c.env.incoming))),
  );
  app.get('/v2/runs/:id', async (c) =>
    userResponse(await handler.user('query', Buffer.from(c.req.param('id')))),
  );
  app.post('/v2/runs/:id/cancel', async (c) => {
    await readBody(c.env.incoming);
    return userResponse(await handler.user('cancel', Buffer.from(c.req.param('id'))));
  });

  app.notFound(() => new Response('{"error":"no such path"}', { status: 404 }));
  app.onError((error) => {
    if (error instanceof TooLong) {
      return new Response('{"error":"body over 64 KiB"}', { status: 413, headers: { connection: 'close' } });
    }
    return new Response('{"error":"internal"}', { status: 500 });
  });
  // The adapter's own Response costs half of what the runtime's does, and every report is answered by one.
  const listener = getRequestListener(app.fetch, { overrideGlobalObjects: true });
  return (request, response) => void listener(request, response);
}
