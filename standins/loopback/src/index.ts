export {findFreePorts} from './free-ports.js';
