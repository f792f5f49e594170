import { describe, expect, it } from 'vitest';
import { TermLifetime } from '../../src/leader/term-lifetime.js';

describe('TermLifetime', () => {
  it('runs the cleanups and reports the reason once, when the term is first ended', () => {
    const events: string[] = [];
    const lifetime = new TermLifetime((reason) => events.push(`ended: ${reason}`));
    lifetime.addCleanup(() => events.push('first cleanup'));
    lifetime.addCleanup(() => events.push('second cleanup'));
    expect(lifetime.isEnded).toBe(false);
    lifetime.end('leader lease expired');
    lifetime.end('controller shutting down');
    expect(lifetime.isEnded).toBe(true);
    expect(events).toEqual(['first cleanup', 'second cleanup', 'ended: leader lease expired']);
  });
});
