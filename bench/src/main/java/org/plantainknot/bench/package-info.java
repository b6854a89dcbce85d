/** Stand-ins, the load tool, the demo and the measurements. */
package org.plantainknot.bench;
