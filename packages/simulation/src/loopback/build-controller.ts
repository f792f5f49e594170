/** Bundles the program of a simulated controller from its TypeScript source. */
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

/**
 * Builds the program and resolves to its path. A caller that is itself bundled must pass `source`, because the default
 * is relative to the location of this module.
 */
export async function buildController(
  source = fileURLToPath(new URL('controller-main.ts', import.meta.url)),
): Promise<string> {
  const outfile = join(tmpdir(), `simulated-controller-${process.pid}.cjs`);
  await build({
    entryPoints: [source],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile,
    logLevel: 'warning',
  });
  return outfile;
}
