// Bundles the program into one file under target/: a node reads one file instead
// of hundreds when it starts again after a kill.
import { build } from 'esbuild';

await build({
  entryPoints: ['src/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: 'target/plumyoke.cjs',
  sourcemap: false,
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning',
});
