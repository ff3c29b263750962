package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// downTime is how long all machines are down in the final fault.
const downTime = 780 * time.Millisecond

// runTwoReplacements replaces two of five controllers by empty ones at other addresses, the new ones first, and lets more than the
// time to catch up pass. Then a configuration is acknowledged, all machines lose power, and two of the five come back with empty
// disks, as many as may be lost. The configuration must be read back, and requests must be served.
func runTwoReplacements(record *record, trouble bool) error {
	deployment, err := startDeployment(record, options{controllers: 5, relays: 2})
	if err != nil {
		return err
	}
	defer deployment.close()
	if err := deployment.serveBefore(); err != nil {
		return err
	}
	running := []int{1, 2, 3, 4, 5}
	if trouble {
		if running, err = deployment.replaceTwo(); err != nil {
			return err
		}
	}
	if err := deployment.putConfiguration(); err != nil {
		return err
	}
	if trouble {
		if err := deployment.loseAllPower(running); err != nil {
			return err
		}
	}
	return deployment.judge(running, time.Now())
}

// replaceTwo starts two empty controllers, and stops two others for good. It returns the numbers of those that run then.
func (d *deployment) replaceTwo() (running []int, err error) {
	for _, number := range []int{6, 7} {
		d.record.printf("core-%d starts with an empty disk", number)
		if err := d.startController(number, false); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(time.Second)
	for _, number := range []int{4, 5} {
		d.record.printf("core-%d gets SIGTERM and is gone for good", number)
		d.controllers[number-1].signal(syscall.SIGTERM)
		<-d.controllers[number-1].done
		time.Sleep(time.Second)
	}
	time.Sleep(2 * catchUp)
	return []int{1, 2, 3, 6, 7}, nil
}

// loseAllPower kills all processes at once, empties the disks of two controllers, and starts all again.
func (d *deployment) loseAllPower(running []int) error {
	d.record.printf("all controllers and relays are killed; core-1 and core-6 lose their disks")
	for _, number := range running {
		d.controllers[number-1].signal(syscall.SIGKILL)
	}
	for _, relay := range d.relays {
		relay.signal(syscall.SIGKILL)
	}
	for _, number := range running {
		<-d.controllers[number-1].done
	}
	for _, relay := range d.relays {
		<-relay.done
	}
	for _, number := range []int{1, 6} {
		if err := os.RemoveAll(filepath.Join(d.directory, fmt.Sprintf("core-%d.data", number))); err != nil {
			return err
		}
	}
	time.Sleep(downTime)
	for _, number := range running {
		if err := d.startController(number, false); err != nil {
			return err
		}
	}
	for number := range d.options.relays {
		if err := d.startRelay(number + 1); err != nil {
			return err
		}
	}
	d.record.printf("all are started again")
	return nil
}
