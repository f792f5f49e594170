import { main } from './cli/program.js';

void main(process.argv.slice(2));
